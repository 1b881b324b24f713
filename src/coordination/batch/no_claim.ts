/** Number in the reply to an order that is refused, since it was no claim. */
export const NO_CLAIM = 0;
