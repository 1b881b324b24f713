export { explainOverlaps } from "./explain_overlaps.ts";
