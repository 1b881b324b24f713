/** Topics of the platform's store that keep the newest record of each key. */
export type KeyedTopic = "operator" | "members";
