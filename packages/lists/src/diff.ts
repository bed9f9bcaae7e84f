/** What a change of the lists means, in words. */
import { CompiledLists } from './CompiledLists.js';
import { diffKeys, diffRoutes, diffServices } from './diff-parts.js';
import type { Lists, Plan } from './schema.js';
import type { Difference } from './types.js';
import { joinNames, nounWithNames } from './format-names.js';

interface PlanPair {
  readonly before: string | undefined;
  readonly after: string | undefined;
  readonly teams: string[];
}

const sameSet = (a: readonly string[], b: readonly string[]): boolean => {
  const set = new Set(a);
  return set.size === new Set(b).size && b.every((item) => set.has(item));
};

const missingFrom = (items: readonly string[], others: readonly string[]): string[] => {
  const set = new Set(others);
  return items.filter((item) => !set.has(item));
};

/** Teams with the same plan before and the same plan after are affected alike. */
function groupTeams(before: Lists, after: Lists): PlanPair[] {
  const pairs = new Map<string, PlanPair>();
  const ids = [...new Set([...Object.keys(before.teams), ...Object.keys(after.teams)])].sort();
  ids.forEach((id) => {
    const planBefore = Object.hasOwn(before.teams, id) ? before.teams[id]?.plan : undefined;
    const planAfter = Object.hasOwn(after.teams, id) ? after.teams[id]?.plan : undefined;
    const key = `${planBefore ?? ''} ${planAfter ?? ''}`;
    const pair = pairs.get(key) ?? { before: planBefore, after: planAfter, teams: [] };
    pair.teams.push(id);
    pairs.set(key, pair);
  });
  return [...pairs.values()];
}

const planIn = (lists: Lists, id: string | undefined): Plan | undefined =>
  id !== undefined && Object.hasOwn(lists.plans, id) ? lists.plans[id] : undefined;

const describePlan = (plan: Plan | undefined): string =>
  plan === undefined ? 'no defined plan' : `${plan.rate} requests/s with a burst of ${plan.burst}`;

/** Compares the effective access of teams. */
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
    return groupTeams(this.before, this.after).flatMap((pair) => this.ofPair(pair));
  }

  private ofPair(pair: PlanPair): Difference[] {
    const who = nounWithNames('team', pair.teams);
    const isOne = pair.teams.length === 1;
    if (pair.after === undefined) {
      const text = `${who} ${isOne ? 'is' : 'are'} removed and may no longer use any route with a key`;
      return [{ subject: 'team', isLoss: true, text }];
    }
    if (pair.before === undefined) return [this.added(pair.after, who, isOne)];
    return [...this.access(pair, who), ...this.limits(pair, who, isOne)];
  }

  private added(planId: string, who: string, isOne: boolean): Difference {
    const routes = this.compiledAfter.routesOfPlan(planId);
    const access = routes.length === 0 ? 'no route' : nounWithNames('route', routes);
    const limits = describePlan(planIn(this.after, planId));
    const text = `${who} ${isOne ? 'is' : 'are'} new on plan ${planId} (${limits}) and may use ${access}`;
    return { subject: 'team', isLoss: false, text };
  }

  private access({ before, after }: PlanPair, who: string): Difference[] {
    const routesBefore = this.compiledBefore.routesOfPlan(before ?? '');
    const routesAfter = this.compiledAfter.routesOfPlan(after ?? '');
    const { routes } = this.after;
    const isOpenAfter = (id: string): boolean => Object.hasOwn(routes, id) && !!routes[id]?.open;
    const closed = this.openBefore().filter((id) => Object.hasOwn(routes, id) && !isOpenAfter(id));
    const lost = missingFrom([...routesBefore, ...closed], routesAfter).filter(
      (id) => !isOpenAfter(id),
    );
    const gained = missingFrom(routesAfter, [...routesBefore, ...closed]);
    return [
      ...lost.map((id): Difference => {
        const text = `${who} may no longer use route ${id}`;
        return { subject: 'team', isLoss: true, text };
      }),
      ...gained.map((id): Difference => {
        const text = `${who} may now use route ${id}`;
        return { subject: 'team', isLoss: false, text };
      }),
    ];
  }

  private limits(pair: PlanPair, who: string, isOne: boolean): Difference[] {
    const old = planIn(this.before, pair.before);
    const now = planIn(this.after, pair.after);
    const differences: Difference[] = [];
    if (pair.before !== pair.after) {
      const text = `${who} ${isOne ? 'moves' : 'move'} from plan ${pair.before} to plan ${pair.after}`;
      differences.push({ subject: 'team', isLoss: false, text });
    }
    if (old === undefined || now === undefined) return differences;
    if (old.rate !== now.rate) {
      const text = `${who}: rate ${old.rate} -> ${now.rate} requests/s`;
      differences.push({ subject: 'team', isLoss: now.rate < old.rate, text });
    }
    if (old.burst !== now.burst) {
      const text = `${who}: burst ${old.burst} -> ${now.burst} requests`;
      differences.push({ subject: 'team', isLoss: now.burst < old.burst, text });
    }
    return differences;
  }

  private openBefore(): string[] {
    return Object.entries(this.before.routes)
      .filter(([, { open }]) => open)
      .map(([id]) => id);
  }
}

function changedPlan(id: string, old: Plan, now: Plan, isUsed: boolean): string[] {
  const texts: string[] = [];
  const added = missingFrom(now.services, old.services);
  const dropped = missingFrom(old.services, now.services);
  if (added.length > 0) {
    texts.push(`plan ${id} includes ${nounWithNames('service', added)} with all future routes`);
  }
  if (dropped.length > 0) {
    texts.push(`plan ${id} no longer includes future routes of ${joinNames(dropped)}`);
  }
  if (!sameSet(old.routes, now.routes)) {
    const gone = missingFrom(old.routes, now.routes).map((route) => `-${route}`);
    const come = missingFrom(now.routes, old.routes).map((route) => `+${route}`);
    texts.push(`plan ${id} lists other routes: ${[...gone, ...come].join(' ')}`);
  }
  if (!isUsed && (old.rate !== now.rate || old.burst !== now.burst)) {
    texts.push(`plan ${id}, which no team uses: ${describePlan(old)} -> ${describePlan(now)}`);
  }
  return texts;
}

function diffPlans(before: Lists, after: Lists): Difference[] {
  const used = new Set(Object.values(after.teams).map(({ plan }) => plan));
  const ids = [...new Set([...Object.keys(before.plans), ...Object.keys(after.plans)])].sort();
  return ids.flatMap((id) => {
    const old = planIn(before, id);
    const now = planIn(after, id);
    const texts = (() => {
      if (old === undefined) return [`plan ${id} is new: ${describePlan(now)}`];
      if (now === undefined) return [`plan ${id} is removed`];
      return changedPlan(id, old, now, used.has(id));
    })();
    return texts.map((text) => ({ subject: 'plan' as const, isLoss: false, text }));
  });
}

/**
 * The effects of replacing one pair of lists by another: first the teams' effective access and limits, then keys,
 * plans, routes and services. Empty when the lists mean the same.
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
