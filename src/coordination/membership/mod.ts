export { Announcer } from "./announcer.ts";
export { FailureDetector } from "./failure_detector.ts";
