import type { OperatorConfig } from "./operator_config.ts";

/** The change that one record of the operator describes. */
export type OperatorChange =
  | { readonly kind: "config"; readonly config: OperatorConfig }
  | { readonly kind: "zone_out"; readonly zone: string }
  | { readonly kind: "zone_in"; readonly zone: string }
  | { readonly kind: "other" };
