import type { ChangeRecord } from "./change_record.ts";

/**
 * Applies edits to a copy of a settings tree. The result isn't checked.
 * @param tree - The tree; it isn't modified.
 * @param edits - Paths and values in order; null removes a node.
 */
export function applyEdits(
  tree: object,
  edits: ChangeRecord["edits"],
): Record<string, unknown> {
  const edited = structuredClone(tree) as Record<string, unknown>;
  for (const { path, value } of edits) {
    const names = path.split(".");
    if (value === null) {
      removePath(edited, names);
    } else {
      setPath(edited, names, value);
    }
  }
  return edited;
}

function setPath(
  tree: Record<string, unknown>,
  path: string[],
  value: unknown,
): void {
  const last = path[path.length - 1] as string;
  let node = tree;
  for (const name of path.slice(0, -1)) {
    let child = getChild(node, name);
    if (child === undefined) {
      child = {};
      setOwn(node, name, child);
    }
    node = child;
  }
  setOwn(node, last, value);
}

/**
 * Removes a node. Missing parents aren't created, since an empty node, such as
 * one below `services`, would add a service.
 */
function removePath(tree: Record<string, unknown>, path: string[]): void {
  const last = path[path.length - 1] as string;
  let node: Record<string, unknown> | undefined = tree;
  for (const name of path.slice(0, -1)) {
    node = node === undefined ? undefined : getChild(node, name);
  }
  if (node !== undefined) {
    delete node[last];
  }
}

function getChild(
  node: Record<string, unknown>,
  name: string,
): Record<string, unknown> | undefined {
  const child = Object.hasOwn(node, name) ? node[name] : undefined;
  return typeof child === "object" && child !== null && !Array.isArray(child)
    ? child as Record<string, unknown>
    : undefined;
}

/**
 * Sets an own property. A plain assignment to "__proto__" would change the
 * prototype.
 */
function setOwn(
  node: Record<string, unknown>,
  name: string,
  value: unknown,
): void {
  Object.defineProperty(node, name, {
    value,
    enumerable: true,
    writable: true,
    configurable: true,
  });
}
