export { Address } from "./address.ts";
