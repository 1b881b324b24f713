/** Reads the complete body of a request or response. */
export async function readBody(message) {
  const chunks = [];
  for await (const chunk of message) {
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}
