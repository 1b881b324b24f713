export { HttpLogService } from "./http_log_service.ts";
