import type { MemberState } from "../state/view/mod.ts";
import type { CommandResult } from "./command_result.ts";
import type { CtlContext } from "./ctl_context.ts";
import { formatTable } from "./format_table.ts";
import type { ProcessView } from "./process_view.ts";
import { readProcessViews } from "./read_process_views.ts";

/**
 * Reads the state of the zones and of the members, with the settings revision
 * in force at each member and the age of its view.
 */
export async function readStatus(context: CtlContext): Promise<CommandResult> {
  const { view } = context.follower;
  const members = [...view.getMembers("entry"), ...view.getMembers("agent")];
  const views = await readProcessViews(members);
  const zones = createZoneRows(context, members);
  const rows = members.map((member) =>
    createMemberRow(member, views.get(member.id))
  );
  const text = [
    `revision ${view.revision}, log offset ${view.offset}`,
    "",
    formatTable(zones),
    "",
    formatTable(rows),
  ].join("\n");
  return {
    exitCode: 0,
    text,
    value: {
      status: "ok",
      revision: view.revision,
      offset: view.offset,
      zones,
      members: rows,
    },
  };
}

function createZoneRows(context: CtlContext, members: readonly MemberState[]) {
  const { view } = context.follower;
  const zoneNames = new Set([
    ...members.map(({ zone }) => zone),
    ...Object.keys(view.settings.zones ?? {}),
  ]);
  return [...zoneNames].sort().map((zone) => {
    const zoneMembers = members.filter((member) => member.zone === zone);
    const countMembers = (role: string) =>
      zoneMembers.filter((member) => member.role === role).length;
    return {
      zone,
      state: view.isZoneInService(zone) ? "in" : "out",
      entries: countMembers("entry"),
      agents: countMembers("agent"),
      upstreamsOut: zoneMembers.filter((member) =>
        member.role === "agent" && !view.isUpstreamInService(member.name)
      ).length,
    };
  });
}

function createMemberRow(member: MemberState, view: ProcessView | undefined) {
  return {
    member: member.id,
    role: member.role,
    zone: member.zone,
    phase: member.phase,
    httpAddress: member.httpAddress,
    isReachable: view !== undefined,
    revision: view?.revision ?? null,
    viewAgeMs: view?.ageMs ?? null,
    canStartWork: view?.canStartWork ?? null,
  };
}
