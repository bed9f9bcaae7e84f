/** Counts the questions of an entry for the plan and logs rounds of them that end without knowledge. */
import type { Clock } from '@marigoldbank/base/clock';
import type { Logger } from '@marigoldbank/daemon/telemetry/Logger';
import { planAnswerSeconds } from '../metrics.js';
import type { VoterCoverage } from './MajorityRead.js';

/** Rounds follow each other every 0.7 s on average, at each entry. */
const LOG_INTERVAL_MS = 1_000;

const MS_PER_SECOND = 1_000;

interface Counts {
  asked: number;
  /** Answers within the share of the time for a question, and later ones. */
  inTime: number;
  late: number;
  /** Questions that were given up. */
  unanswered: number;
  /** Longest time of an answer. */
  slowestMs: number;
}

function noCounts(): Counts {
  return { asked: 0, inTime: 0, late: 0, unanswered: 0, slowestMs: 0 };
}

export class PlanQuestionLog {
  private counts = noCounts();

  private loggedAt = -Infinity;

  public constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
    /** Time after which an answer counts as late, milliseconds. */
    private readonly lateAfterMs: number,
  ) {}

  public noteAsked(): void {
    this.counts.asked += 1;
  }

  /** Notes what became of a question. `elapsedMs` is undefined if it was given up without an answer. */
  public noteOutcome(elapsedMs: number | undefined): void {
    const { counts } = this;
    if (elapsedMs === undefined) {
      counts.unanswered += 1;
      return;
    }
    planAnswerSeconds.observe(elapsedMs / MS_PER_SECOND);
    counts.slowestMs = Math.max(counts.slowestMs, elapsedMs);
    if (elapsedMs > this.lateAfterMs) counts.late += 1;
    else counts.inTime += 1;
  }

  /** Logs what has happened since the last line, at most once a second. Late answers may belong to an earlier round. */
  public noteRoundInVain(coverage: VoterCoverage): void {
    const now = this.clock.now();
    if (now - this.loggedAt < LOG_INTERVAL_MS) return;
    this.loggedAt = now;
    const { voters, counted, oldestMs } = coverage;
    this.logger.info('no control VM has told whether the plan is the newest one', {
      ...this.counts,
      slowestMs: Math.round(this.counts.slowestMs),
      voters,
      counted,
      oldestMs: Math.round(oldestMs),
    });
    this.counts = noCounts();
  }

  /** Starts counting anew, as the plan is confirmed. */
  public reset(): void {
    this.counts = noCounts();
    this.loggedAt = -Infinity;
  }
}
