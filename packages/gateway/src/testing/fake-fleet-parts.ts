/** What the fake fleet consists of, and what its processes start with. */
import type { Clock } from '@marigoldbank/base/clock';
import type { Random } from '@marigoldbank/base/random';
import { NullLogger } from '@marigoldbank/daemon/telemetry/NullLogger';
import type { HubUpdate } from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import type { Hub } from '../control/Hub.js';
import type { HubDirectory } from '../control/HubDirectory.js';
import type { ILogView } from '../control/LogView.js';
import { CommitHistory } from '../control/CommitHistory.js';
import type { PlanStateMachine } from '../control/PlanStateMachine.js';
import { createEntryExtensions } from '../entry/entry-extensions.js';
import type { EntryExtension } from '../entry/EntryExtension.js';
import { EntryState } from '../entry/EntryState.js';
import { HubReporter } from '../entry/HubReporter.js';
import type { FakeStoredLog } from './FakeStoredLog.js';
import { gatewaySettingsSchema, type GatewaySettings } from '../settings.js';

const FIRST_PORT = 7_600;

export const LEADER_IP = '10.0.0.1';

const BOUNDS = {
  grace: '6s',
  maxTtl: '5s',
  retryRatio: 0.2,
  retrySlack: 188,
  retryWindow: '10s',
};

/** Voters of the log: those for two tolerated losses. */
export const VOTERS = 5;

export interface FakeFleetOptions {
  /** Data centre of each hub; the first one leads. */
  readonly hubs: readonly string[];
  /** Data centre of each entry. */
  readonly entries: readonly string[];
  readonly seed?: number;
  /** The entries start within this time. */
  readonly startWithinMs?: number;
  /** Price of a request to another data centre; without one, there is no placement. */
  readonly crossingPrice?: number | undefined;
  /** Setting of all processes, off if omitted. */
  readonly overload?: GatewaySettings['overload'] | undefined;
}

export interface FakeHub {
  readonly ip: string;
  readonly address: string;
  readonly hub: Hub;
  /** Clock of the hub's process. */
  readonly clock: Clock;
  readonly stateMachine: PlanStateMachine;
  /** Parts of the log process of the VM. */
  readonly directory: HubDirectory;
  readonly logState: PlanStateMachine;
  readonly history: CommitHistory;
  readonly storedLog: FakeStoredLog;
  /** Time of the virtual clock at which a majority confirmed the state of the log process. */
  logConfirmedAt: number;
  /** Before this time the log process of the VM does not answer. */
  logFrozenUntil: number;
  /** Time that each message waits at this hub, in either direction. */
  delayMs: number;
  /** The hub handles and sends no message before this time. */
  busyUntil: number;
  /** Number of entries that have connected so far, each as often as it did. */
  connections: number;
  /** Whether the VM is cut off from the leader. Hubs that are cut off reach each other, and entries reach all. */
  isCutOff: boolean;
  /** Whether no other VM gets the messages of this one, while it gets theirs: a cut in one direction. */
  isUnheard: boolean;
  /** Whether the log process of the VM does not run, while the hub does. */
  isLogDown: boolean;
  /** What the hub knows of the log of its VM. */
  readonly log: { -readonly [K in keyof ILogView]: ILogView[K] };
}

export interface FakeEntry {
  readonly vm: string;
  /** Clock of the entry's process. */
  readonly clock: Clock;
  readonly dataCentre: string;
  readonly state: EntryState;
  readonly reporter: HubReporter;
  /** Address of the hub that the entry follows. */
  followed: string | undefined;
  /** Updates that arrived at the entry. */
  updates: HubUpdate[];
}

export function makeSettings(
  ip: string,
  dataCentre: string,
  { crossingPrice, overload }: Pick<FakeFleetOptions, 'crossingPrice' | 'overload'> = {},
): GatewaySettings {
  return gatewaySettingsSchema.parse({
    overload,
    vm: `control-${ip}`,
    ip,
    dataCentre,
    role: 'control',
    listen: {},
    internalPorts: [FIRST_PORT, FIRST_PORT + 2],
    seeds: [],
    bootstrap: true,
    toleratedLosses: 1,
    bounds: BOUNDS,
    ...(crossingPrice === undefined ? {} : { placement: { crossingPrice } }),
  });
}

/** State and reports of an entry that has not started, with the parts that its settings call for. */
export function makeEntry(
  vm: string,
  dataCentre: string,
  clock: Clock,
  random: Random,
  options: Pick<FakeFleetOptions, 'crossingPrice' | 'overload'> = {},
): { readonly entry: FakeEntry; readonly extensions: readonly EntryExtension[] } {
  const logger = new NullLogger();
  const settings = makeSettings(LEADER_IP, dataCentre, options);
  const bounds = { ratio: 0.2, slack: 188, windowMs: 10_000 };
  const state = new EntryState(bounds, random, () => clock.now(), {
    crossingPrice: options.crossingPrice,
  });
  const isAccepting = (): Promise<boolean> => Promise.resolve(false);
  const reporter = new HubReporter(clock, state, logger, { isAccepting });
  const extensions = createEntryExtensions({ clock, logger, settings, state });
  extensions.forEach((extension) => reporter.addExtension(extension));
  const entry = { vm, clock, dataCentre, state, reporter, followed: undefined, updates: [] };
  return { entry, extensions };
}

/** What a hub knows of the log before it has been confirmed. */
export function makeUnansweredLog(isLeader: boolean, voters: readonly string[]): ILogView {
  return {
    isLeader,
    leader: LEADER_IP,
    voters,
    confirmedAt: -Infinity,
    leaderSeenAt: -Infinity,
    answerDelayMs: 0,
    isAnswering: true,
  };
}

/** What the log process of a VM tells entries. */
export function makeHistory(
  clock: Clock,
  hub: () => FakeHub,
  stateMachine: PlanStateMachine,
  log: FakeStoredLog,
): CommitHistory {
  const confirmedAgeMs = (): number => clock.now() - hub().logConfirmedAt;
  return new CommitHistory({
    clock,
    stateMachine,
    confirmation: { confirmedAgeMs },
    log,
    logger: new NullLogger(),
  });
}

/** No majority answers such a VM, so that its log gets no commits and no confirmations. */
export function isWithoutMajority({ isCutOff, isUnheard }: FakeHub): boolean {
  return isCutOff || isUnheard;
}
