/**
 * Why an entry refuses a request: the delay of its event loop is too long for the
 * job's slack (`loop_delay`), the requests before it take until its answer is of
 * no use (`expected_wait`), or it has waited until then (`waited`).
 */
export type IntakeCause = "loop_delay" | "expected_wait" | "waited";
