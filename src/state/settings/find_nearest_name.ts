/**
 * Finds the known name that takes the fewest edits to reach, to suggest it for
 * a misspelt one.
 * @param name - The unknown name.
 * @param known - The known names.
 */
export function findNearestName(
  name: string,
  known: readonly string[],
): string | undefined {
  const wanted = name.toLowerCase();
  let nearest: string | undefined;
  let smallest = Infinity;
  for (const candidate of known) {
    const lower = candidate.toLowerCase();
    // A name that is the beginning of the other counts as one edit, such as
    // "timeout" for "timeoutMs". Omitting the unit is the most common mistake.
    const distance = lower.startsWith(wanted) || wanted.startsWith(lower)
      ? 1
      : getDistance(wanted, lower);
    if (distance < smallest) {
      smallest = distance;
      nearest = candidate;
    }
  }
  return smallest <= Math.max(2, name.length / 2) ? nearest : undefined;
}

/** Gets the Levenshtein distance of two texts. */
function getDistance(first: string, second: string): number {
  let previous = Array.from({ length: second.length + 1 }, (_, n) => n);
  for (let row = 1; row <= first.length; row++) {
    const current = [row];
    for (let column = 1; column <= second.length; column++) {
      const isSame = first[row - 1] === second[column - 1];
      current.push(Math.min(
        (previous[column] as number) + 1,
        (current[column - 1] as number) + 1,
        (previous[column - 1] as number) + (isSame ? 0 : 1),
      ));
    }
    previous = current;
  }
  return previous[second.length] as number;
}
