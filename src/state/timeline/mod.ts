export { Timeline } from "./timeline.ts";
export type { TimelineEvent } from "./timeline_event.ts";
