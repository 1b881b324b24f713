/**
 * The customers of a load run and their weights. Each offers half of the work.
 */
export const LOAD_CUSTOMERS: { readonly [name: string]: { weight: number } } = {
  press: { weight: 3 },
  archive: { weight: 1 },
};
