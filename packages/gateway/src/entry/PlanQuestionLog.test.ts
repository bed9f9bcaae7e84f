import { describe, it } from 'node:test';
import { VirtualClock } from '@marigoldbank/base/virtual-clock';
import { RecordingLogger } from '@marigoldbank/daemon/testing/RecordingLogger';
import { expect } from 'earl';
import { PlanQuestionLog } from './PlanQuestionLog.js';

const COVERAGE = { voters: 5, counted: 2, oldestMs: 812.4 };

describe('PlanQuestionLog', () => {
  // Entries that got no answers, late ones, or too few to conclude anything looked the same in the log.
  it('tells answers that are late or missing from voters that do not count', () => {
    const logger = new RecordingLogger();
    const questions = new PlanQuestionLog(new VirtualClock(), logger, 100);
    [80, 1_300, undefined].forEach((elapsedMs) => {
      questions.noteAsked();
      questions.noteOutcome(elapsedMs);
    });
    questions.noteRoundInVain(COVERAGE);
    expect(logger.lines.map(({ context }) => context)).toEqual([
      {
        asked: 3,
        inTime: 1,
        late: 1,
        unanswered: 1,
        slowestMs: 1_300,
        voters: 5,
        counted: 2,
        oldestMs: 812,
      },
    ]);
  });

  it('writes a line a second at most', () => {
    const clock = new VirtualClock();
    const logger = new RecordingLogger();
    const questions = new PlanQuestionLog(clock, logger, 100);
    for (let i = 0; i < 20; i += 1) {
      questions.noteRoundInVain(COVERAGE);
      clock.advance(100);
    }
    expect(logger.lines.length).toEqual(2);
  });
});
