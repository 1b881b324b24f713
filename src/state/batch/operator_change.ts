import type { OperatorConfig } from "./operator_config.ts";

/** What one record of the operator says. */
export type OperatorChange =
  | { readonly kind: "config"; readonly config: OperatorConfig }
  | { readonly kind: "zone_out"; readonly zone: string }
  | { readonly kind: "zone_in"; readonly zone: string }
  | { readonly kind: "other" };
