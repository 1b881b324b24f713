import type { BlockPool } from "../block_pool.ts";
import type { BodyDiscarder } from "./body_discarder.ts";
import type { ChangeableHttpLimits } from "./changeable_http_limits.ts";
import type { HttpLimits } from "./http_limits.ts";
import type { HttpRequest } from "./http_request.ts";
import type { HttpRequestHead } from "./http_request_head.ts";
import type { HttpResponse } from "./http_response.ts";
import type { RefusalCause } from "./refusal_cause.ts";
import type { MemoryBudget } from "../memory_budget.ts";
import type { ServerConnection } from "./server_connection.ts";

/** What the exchanges of a server have in common. */
export interface ExchangeContext {
  readonly limits: HttpLimits;
  readonly budget: MemoryBudget;
  readonly pool: BlockPool;
  readonly discarder: BodyDiscarder;
  handleRequest(request: HttpRequest): Promise<HttpResponse> | HttpResponse;
  checkHead(head: HttpRequestHead): HttpResponse | undefined;
  getLimits(): ChangeableHttpLimits | undefined;
  reportRefusal(cause: RefusalCause, connection: ServerConnection): void;
  /** Returns whether connections close after their next response. */
  isStopping(): boolean;
}
