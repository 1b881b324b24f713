export { createFrame } from "./create_frame.ts";
export { readFrame } from "./read_frame.ts";
