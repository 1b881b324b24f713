import { TaskGroup } from "./task_group.ts";
import type { WaitingTask } from "./waiting_task.ts";

/** Number of priorities of the rules. */
const PRIORITIES = 10;

/**
 * Groups that are tried before the others wait for the next change. Groups differ in the one or two agents
 * that they leave out, so while two agents are ready nearly every first group can be placed.
 */
const TRIED_GROUPS = 16;

/**
 * The waiting tasks of one team and one service: by priority, then by submission in order of arrival. Tasks
 * that were refused once go first in their priority, since they have waited already.
 */
export class TaskLane {
  readonly #levels: Map<string, TaskGroup>[] = Array.from(
    { length: 2 * PRIORITIES },
    () => new Map<string, TaskGroup>(),
  );
  waiting = 0;

  /** Adds a task. Its submission keeps the place of its first task. */
  add(task: WaitingTask): void {
    const level = this.#getLevel(task);
    const id = getGroupId(task);
    const group = level.get(id) ?? new TaskGroup(task.options);
    level.set(id, group);
    group.add(task);
    this.waiting++;
  }

  /** Finds the first task that can be placed. */
  findFirst(
    canPlace: (task: WaitingTask) => boolean,
  ): WaitingTask | undefined {
    if (this.waiting === 0) {
      return undefined;
    }
    for (const level of this.#levels) {
      let tried = 0;
      for (const [id, { first }] of level) {
        if (first === undefined) {
          level.delete(id);
        } else if (canPlace(first)) {
          return first;
        } else if (++tried >= TRIED_GROUPS) {
          break;
        }
      }
    }
    return undefined;
  }

  /** Removes a task that `findFirst` has found. */
  removeFirst(task: WaitingTask): void {
    this.#getLevel(task).get(getGroupId(task))?.removeFirst();
    this.waiting--;
  }

  /** Gets the level of a task; the first level goes first. */
  #getLevel({ options }: WaitingTask): Map<string, TaskGroup> {
    const highest = PRIORITIES - 1;
    const priority = Math.min(highest, Math.max(0, options.priority));
    const isFirstTry = options.avoidId === undefined;
    const index = 2 * (highest - Math.floor(priority)) + (isFirstTry ? 1 : 0);
    return this.#levels[index] as Map<string, TaskGroup>;
  }
}

function getGroupId({ options }: WaitingTask): string {
  return `${options.avoidId ?? ""} ${options.key}`;
}
