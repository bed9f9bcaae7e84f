/** Explains how this entry would handle a request, without sending it. */
import type { Clock } from '@marigoldbank/base/clock';
import type { TargetStatus } from '@marigoldbank/ejection';
import type { CompiledRoute } from '@marigoldbank/lists/compiled';
import type { Blackboard, ConfigSection } from '../Blackboard.js';
import type { ServiceRouter } from '../entry/types.js';

export interface ExplainedRequest {
  readonly method: string;
  readonly path: string;
  /** Empty for a caller without a key. */
  readonly team: string;
}

export interface ExplainedTarget {
  readonly target: string;
  readonly service: string;
  readonly status: string;
  readonly reason: string;
}

export interface Explanation {
  readonly steps: readonly string[];
  readonly outcome: 'served' | 'refused';
  readonly targets: readonly ExplainedTarget[];
}

export interface ExplainContext {
  readonly clock: Clock;
  readonly blackboard: Blackboard;
  readonly findRouter: (service: string) => ServiceRouter | undefined;
}

function refused(steps: readonly string[], reason: string): Explanation {
  return { steps: [...steps, reason], outcome: 'refused', targets: [] };
}

function explainTarget(service: string, status: TargetStatus): ExplainedTarget {
  const { announcement } = status;
  const isUp = announcement.state === 'up';
  return {
    target: announcement.target,
    service,
    status: isUp ? status.status : announcement.state,
    reason: isUp ? status.reason : `the target announced ${announcement.state}`,
  };
}

/** Returns why the team may not use the route, or undefined if it may. */
function findAccessProblem(
  { lists }: ConfigSection,
  route: CompiledRoute,
  team: string,
): string | undefined {
  if (route.open) return undefined;
  if (team === '') return `route ${route.id} needs a key: 401`;
  if (lists.planOf(team) === undefined) return `team ${team} is not in the lists: 401`;
  return lists.isRouteAllowed(team, route.id)
    ? undefined
    : `the plan of team ${team} does not include route ${route.id}: 403`;
}

function explainRoute(
  ctx: ExplainContext,
  route: CompiledRoute,
  steps: readonly string[],
): Explanation {
  const router = ctx.findRouter(route.service);
  const targets = (router?.pool.status() ?? []).map((status) =>
    explainTarget(route.service, status),
  );
  const count = router?.pool.candidateCount ?? 0;
  const reason = `${count} of ${targets.length} targets of service ${route.service} take work`;
  return { steps: [...steps, reason], outcome: count > 0 ? 'served' : 'refused', targets };
}

/** Explains a request from the configuration in force and the state of the targets. */
export function explainRequest(ctx: ExplainContext, req: ExplainedRequest): Explanation {
  const section = ctx.blackboard.config.value;
  if (section === undefined) return refused([], 'this entry has no configuration: 503');
  const steps = [`revision ${section.config.revision} is in force`];
  if (ctx.clock.now() >= ctx.blackboard.freshness.value.currentUntil) {
    return refused(steps, 'this entry is not current: 503');
  }
  const match = section.lists.matchRoute(req.method, req.path);
  if (match.kind === 'notFound') return refused(steps, 'no route matches: 404');
  if (match.kind === 'methodNotAllowed') {
    return refused(steps, `the path allows ${match.allowed.join(', ')}: 405`);
  }
  const { route } = match;
  const matched = [...steps, `route ${route.id} of service ${route.service} matches`];
  const problem = findAccessProblem(section, route, req.team);
  if (problem !== undefined) return refused(matched, problem);
  const access = route.open ? 'the route is open' : `team ${req.team} may use it`;
  return explainRoute(ctx, route, [...matched, access]);
}
