/** A route to the workers of one service. */
export interface SoakRoute {
  readonly host: string;
  readonly pathPrefix: string;
  readonly service: string;
}
