/** Describes the effects of a change of the lists. */
import { CompiledLists } from './CompiledLists.js';
import { diffKeys, diffRoutes, diffServices } from './diff-parts.js';
import type { Lists, Plan } from './schema.js';
import type { Difference } from './types.js';
import { joinNames, nounWithNames } from './format-names.js';

interface TeamGroup {
  readonly before: string | undefined;
  readonly after: string | undefined;
  readonly teams: string[];
}

const hasSameItems = (a: readonly string[], b: readonly string[]): boolean => {
  const set = new Set(a);
  return set.size === new Set(b).size && b.every((item) => set.has(item));
};

const missingFrom = (items: readonly string[], others: readonly string[]): string[] => {
  const set = new Set(others);
  return items.filter((item) => !set.has(item));
};

/** Groups the teams by their plans before and after, since a change affects all teams of a group in the same way. */
function groupTeams(before: Lists, after: Lists): TeamGroup[] {
  const groups = new Map<string, TeamGroup>();
  const ids = [...new Set([...Object.keys(before.teams), ...Object.keys(after.teams)])].sort();
  ids.forEach((id) => {
    const planBefore = Object.hasOwn(before.teams, id) ? before.teams[id]?.plan : undefined;
    const planAfter = Object.hasOwn(after.teams, id) ? after.teams[id]?.plan : undefined;
    const key = `${planBefore ?? ''} ${planAfter ?? ''}`;
    const group = groups.get(key) ?? { before: planBefore, after: planAfter, teams: [] };
    group.teams.push(id);
    groups.set(key, group);
  });
  return [...groups.values()];
}

const planIn = (lists: Lists, id: string | undefined): Plan | undefined =>
  id !== undefined && Object.hasOwn(lists.plans, id) ? lists.plans[id] : undefined;

const describePlan = (plan: Plan | undefined): string =>
  plan === undefined ? 'no defined plan' : `${plan.rate} requests/s with a burst of ${plan.burst}`;

/** Compares the effective access and limits of teams. */
class AccessComparison {
  private readonly compiledBefore: CompiledLists;

  private readonly compiledAfter: CompiledLists;

  public constructor(
    private readonly before: Lists,
    private readonly after: Lists,
  ) {
    this.compiledBefore = new CompiledLists(before);
    this.compiledAfter = new CompiledLists(after);
  }

  public differences(): Difference[] {
    return groupTeams(this.before, this.after).flatMap((group) => this.differencesOfGroup(group));
  }

  private differencesOfGroup(group: TeamGroup): Difference[] {
    const teamsText = nounWithNames('team', group.teams);
    const isSingle = group.teams.length === 1;
    if (group.after === undefined) {
      const text = `${teamsText} ${isSingle ? 'is' : 'are'} removed and may no longer use any route with a key`;
      return [{ subject: 'team', isLoss: true, text }];
    }
    if (group.before === undefined) return [this.addedTeams(group.after, teamsText, isSingle)];
    return [
      ...this.accessDifferences(group, teamsText),
      ...this.limitDifferences(group, teamsText, isSingle),
    ];
  }

  private addedTeams(planId: string, teamsText: string, isSingle: boolean): Difference {
    const routes = this.compiledAfter.routesOfPlan(planId);
    const access = routes.length === 0 ? 'no route' : nounWithNames('route', routes);
    const limits = describePlan(planIn(this.after, planId));
    const text = `${teamsText} ${isSingle ? 'is' : 'are'} new on plan ${planId} (${limits}) and may use ${access}`;
    return { subject: 'team', isLoss: false, text };
  }

  private accessDifferences({ before, after }: TeamGroup, teamsText: string): Difference[] {
    const routesBefore = this.compiledBefore.routesOfPlan(before ?? '');
    const routesAfter = this.compiledAfter.routesOfPlan(after ?? '');
    const { routes } = this.after;
    const isOpenAfter = (id: string): boolean => Object.hasOwn(routes, id) && !!routes[id]?.open;
    const closed = this.routesOpenBefore().filter(
      (id) => Object.hasOwn(routes, id) && !isOpenAfter(id),
    );
    const lost = missingFrom([...routesBefore, ...closed], routesAfter).filter(
      (id) => !isOpenAfter(id),
    );
    const gained = missingFrom(routesAfter, [...routesBefore, ...closed]);
    return [
      ...lost.map((id): Difference => {
        const text = `${teamsText} may no longer use route ${id}`;
        return { subject: 'team', isLoss: true, text };
      }),
      ...gained.map((id): Difference => {
        const text = `${teamsText} may now use route ${id}`;
        return { subject: 'team', isLoss: false, text };
      }),
    ];
  }

  private limitDifferences(group: TeamGroup, teamsText: string, isSingle: boolean): Difference[] {
    const old = planIn(this.before, group.before);
    const next = planIn(this.after, group.after);
    const differences: Difference[] = [];
    if (group.before !== group.after) {
      const text = `${teamsText} ${isSingle ? 'moves' : 'move'} from plan ${group.before} to plan ${group.after}`;
      differences.push({ subject: 'team', isLoss: false, text });
    }
    if (old === undefined || next === undefined) return differences;
    if (old.rate !== next.rate) {
      const text = `${teamsText}: rate ${old.rate} -> ${next.rate} requests/s`;
      differences.push({ subject: 'team', isLoss: next.rate < old.rate, text });
    }
    if (old.burst !== next.burst) {
      const text = `${teamsText}: burst ${old.burst} -> ${next.burst} requests`;
      differences.push({ subject: 'team', isLoss: next.burst < old.burst, text });
    }
    return differences;
  }

  private routesOpenBefore(): string[] {
    return Object.entries(this.before.routes)
      .filter(([, { open }]) => open)
      .map(([id]) => id);
  }
}

function changedPlan(id: string, old: Plan, next: Plan, isUsed: boolean): string[] {
  const texts: string[] = [];
  const added = missingFrom(next.services, old.services);
  const dropped = missingFrom(old.services, next.services);
  if (added.length > 0) {
    texts.push(`plan ${id} includes ${nounWithNames('service', added)} with all future routes`);
  }
  if (dropped.length > 0) {
    texts.push(`plan ${id} no longer includes future routes of ${joinNames(dropped)}`);
  }
  if (!hasSameItems(old.routes, next.routes)) {
    const removedRoutes = missingFrom(old.routes, next.routes).map((route) => `-${route}`);
    const addedRoutes = missingFrom(next.routes, old.routes).map((route) => `+${route}`);
    texts.push(`plan ${id} lists other routes: ${[...removedRoutes, ...addedRoutes].join(' ')}`);
  }
  if (!isUsed && (old.rate !== next.rate || old.burst !== next.burst)) {
    texts.push(`plan ${id}, which no team uses: ${describePlan(old)} -> ${describePlan(next)}`);
  }
  return texts;
}

function diffPlans(before: Lists, after: Lists): Difference[] {
  const used = new Set(Object.values(after.teams).map(({ plan }) => plan));
  const ids = [...new Set([...Object.keys(before.plans), ...Object.keys(after.plans)])].sort();
  return ids.flatMap((id) => {
    const old = planIn(before, id);
    const next = planIn(after, id);
    const texts = (() => {
      if (old === undefined) return [`plan ${id} is new: ${describePlan(next)}`];
      if (next === undefined) return [`plan ${id} is removed`];
      return changedPlan(id, old, next, used.has(id));
    })();
    return texts.map((text) => ({ subject: 'plan' as const, isLoss: false, text }));
  });
}

/**
 * The effects of replacing one pair of lists by another: first the teams' effective access and limits, then keys,
 * plans, routes and services. Empty when the replacement has no effect.
 */
export function diffLists(before: Lists, after: Lists): Difference[] {
  return [
    ...new AccessComparison(before, after).differences(),
    ...diffKeys(before, after),
    ...diffPlans(before, after),
    ...diffRoutes(before, after),
    ...diffServices(before, after),
  ];
}
