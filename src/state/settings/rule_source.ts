/** The value of a rule at a node and the node that states it. */
export interface RuleSource {
  readonly value: number | boolean;
  /**
   * Path of the rules of the node that states the value; "built-in" when no
   * operator states the rule.
   */
  readonly from: string;
}
