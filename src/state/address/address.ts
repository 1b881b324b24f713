import * as z from "zod";

const MAX_PORT = 65_535;

/** An IPv4 address and a port, as `host:port`. */
export const Address = z.string().refine(
  isAddress,
  `must be an IPv4 address and a port of 1 to ${MAX_PORT}`,
);

function isAddress(text: string): boolean {
  const [host, port, ...rest] = text.split(":");
  return rest.length === 0 && z.ipv4().safeParse(host).success &&
    /^\d{1,5}$/.test(port ?? "") && Number(port) >= 1 &&
    Number(port) <= MAX_PORT;
}
