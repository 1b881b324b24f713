export { HomeFinder } from "./home_finder.ts";
export { HomeSet } from "./home_set.ts";
