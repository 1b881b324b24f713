export { Announcer } from "./announcer.ts";
export { SilenceWatcher } from "./silence_watcher.ts";
