/** Gets the slope of a line through some points, by least squares. */
export function getSlope(
  points: readonly (readonly [number, number])[],
): number {
  const count = points.length;
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / count;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count;
  let above = 0;
  let below = 0;
  for (const [x, y] of points) {
    above += (x - meanX) * (y - meanY);
    below += (x - meanX) ** 2;
  }
  return above / below;
}
