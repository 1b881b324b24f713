/** Topics of the platform's store whose newest record of each key is kept. */
export type KeyedTopic = "operator" | "members";
