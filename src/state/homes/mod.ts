export { HomeFinder } from "./home_finder.ts";
