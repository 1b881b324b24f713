export { isNestedWithin } from "./is_nested_within.ts";
