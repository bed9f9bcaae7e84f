/** Metrics of a gateway process. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { Counter, Gauge, Histogram, Registry } from 'prom-client';

const DURATION_BUCKETS_S = [0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10];

const DATAGRAM_BUCKETS_S = [0.0001, 0.0002, 0.0005, 0.001, 0.005, 0.02, 0.1, 0.5];

const registry = new Registry();

export const requestsTotal = new Counter({
  name: 'marigoldbank_requests_total',
  help: 'Requests by route and outcome',
  labelNames: ['route', 'outcome'] as const,
  registers: [registry],
});

export const attemptsTotal = new Counter({
  name: 'marigoldbank_upstream_attempts_total',
  help: 'Requests sent to targets by service and outcome',
  labelNames: ['service', 'outcome'] as const,
  registers: [registry],
});

export const coldHeldBackTotal = new Counter({
  name: 'marigoldbank_cold_held_back_total',
  help: 'Requests that the rates of cold targets held back from at least one target, by service and what became of them: sent elsewhere, refused',
  labelNames: ['service', 'outcome'] as const,
  registers: [registry],
});

export const levelAdmittedShare = new Gauge({
  name: 'marigoldbank_level_admitted_share',
  help: 'Share of the requests that the level in force admits, by service and rank; absent while all are admitted',
  labelNames: ['service', 'rank'] as const,
  registers: [registry],
});

export const levelRefusalsTotal = new Counter({
  name: 'marigoldbank_level_refusals_total',
  help: 'Requests that were refused by a level, by service, rank and who computed it: hub, entry',
  labelNames: ['service', 'rank', 'by'] as const,
  registers: [registry],
});

export const targetNoticesTotal = new Counter({
  name: 'marigoldbank_target_notices_total',
  help: 'Times that a target said that it leaves or wants a pause, by service and notice',
  labelNames: ['service', 'notice'] as const,
  registers: [registry],
});

export const uploadRefusalsTotal = new Counter({
  name: 'marigoldbank_upload_refusals_total',
  help: 'Requests with large bodies that were refused before the body was read, by what was short',
  labelNames: ['reason'] as const,
  registers: [registry],
});

export const waitingRequests = new Gauge({
  name: 'marigoldbank_waiting_requests',
  help: 'Requests that wait at this entry until a target has a free slot',
  registers: [registry],
});

export const slotWaitSeconds = new Histogram({
  name: 'marigoldbank_slot_wait_duration_seconds',
  help: 'Time that requests waited for a free slot, by outcome: started, refused, ended',
  labelNames: ['outcome'] as const,
  buckets: DURATION_BUCKETS_S,
  registers: [registry],
});

export const refusalsTotal = new Counter({
  name: 'marigoldbank_refusals_total',
  help: 'Requests that were refused with a time to come back, by service and reason: rejected, noSlot, noTarget, other',
  labelNames: ['service', 'reason'] as const,
  registers: [registry],
});

export const returnSeconds = new Histogram({
  name: 'marigoldbank_retry_after_seconds',
  help: 'Times after which callers of refused requests were asked to return, by reason',
  labelNames: ['reason'] as const,
  buckets: DURATION_BUCKETS_S,
  registers: [registry],
});

export const unusualPaces = new Gauge({
  name: 'marigoldbank_unusual_target_paces',
  help: 'Targets that this hub has told entries to be faster or slower than others, or to use fewer slots',
  registers: [registry],
});

export const quarantinesTotal = new Counter({
  name: 'marigoldbank_quarantined_requests_total',
  help: 'Requests that are refused from then on because targets ended under them, each counted once a quarantine',
  registers: [registry],
});

export const planQuestionsTotal = new Counter({
  name: 'marigoldbank_plan_questions_total',
  help: 'Questions to control VMs for the plan, while the hub does not confirm it, by outcome',
  labelNames: ['outcome'] as const,
  registers: [registry],
});

export const planAnswerSeconds = new Histogram({
  name: 'marigoldbank_plan_answer_duration_seconds',
  help: 'Time from a question to a control VM for the plan to its answer; questions without an answer are not in it',
  buckets: DURATION_BUCKETS_S,
  registers: [registry],
});

export const datagramsTotal = new Counter({
  name: 'marigoldbank_datagrams_answered_total',
  help: 'Datagrams that a log process has answered, by what they ask for: hubs, plan, leadership',
  labelNames: ['kind'] as const,
  registers: [registry],
});

export const datagramSeconds = new Histogram({
  name: 'marigoldbank_datagram_duration_seconds',
  help: 'Time from the arrival of a datagram in the event loop of a log process to its answer, by what it asks for',
  labelNames: ['kind'] as const,
  buckets: DATAGRAM_BUCKETS_S,
  registers: [registry],
});

export const requestSeconds = new Histogram({
  name: 'marigoldbank_request_duration_seconds',
  help: 'Time from the head of a request to its answer',
  labelNames: ['route'] as const,
  buckets: DURATION_BUCKETS_S,
  registers: [registry],
});

export const hubConfirmedAge = new Gauge({
  name: 'marigoldbank_confirmed_age_seconds',
  help: 'Time since a majority of the voters confirmed the configuration in force',
  registers: [registry],
});

export const lookupsTotal = new Counter({
  name: 'marigoldbank_address_lookups_total',
  help: 'Questions of callers for addresses by outcome',
  labelNames: ['outcome'] as const,
  registers: [registry],
});

export const loopDelaySeconds = new Histogram({
  name: 'marigoldbank_event_loop_delay_seconds',
  help: 'Delay of periodic turns of the event loop',
  buckets: DURATION_BUCKETS_S,
  registers: [registry],
});

export const loopUtilization = new Gauge({
  name: 'marigoldbank_event_loop_utilization',
  help: 'Share of the last second in which the event loop was busy or its process had to wait for a processor',
  registers: [registry],
});

export const droppedLogLines = new Counter({
  name: 'marigoldbank_log_lines_dropped_total',
  help: 'Log lines that were not written because of their rate',
  registers: [registry],
});

export const controlCallsTotal = new Counter({
  name: 'marigoldbank_control_calls_total',
  help: 'Calls of operators and targets to a control VM, by kind and status',
  labelNames: ['kind', 'status'] as const,
  registers: [registry],
});

export const controlCallPartSeconds = new Histogram({
  name: 'marigoldbank_control_call_part_duration_seconds',
  help: 'Time that calls of operators and targets take at a control VM, by part: parse, commit, confirm',
  labelNames: ['part'] as const,
  buckets: DURATION_BUCKETS_S,
  registers: [registry],
});

export const evacuationOrdersTotal = new Counter({
  name: 'marigoldbank_evacuation_orders_total',
  help: 'Orders of operators to start or end the evacuation of a data centre, by order and outcome',
  labelNames: ['order', 'outcome'] as const,
  registers: [registry],
});

export const evacuatedDataCentres = new Gauge({
  name: 'marigoldbank_evacuated_data_centres',
  help: 'Data centres whose targets get no requests, as known to this process',
  registers: [registry],
});

export const consensusCallsTotal = new Counter({
  name: 'marigoldbank_consensus_calls_total',
  help: 'Messages to other members of the replicated log by kind, member and outcome',
  labelNames: ['kind', 'member', 'outcome'] as const,
  registers: [registry],
});

export const openConsensusCalls = new Gauge({
  name: 'marigoldbank_consensus_calls_open',
  help: 'Messages to other members of the replicated log without an answer yet',
  labelNames: ['member'] as const,
  registers: [registry],
});

export const consensusCallSeconds = new Histogram({
  name: 'marigoldbank_consensus_call_duration_seconds',
  help: 'Time from a message to another member of the replicated log to its answer or failure, by kind',
  labelNames: ['kind'] as const,
  buckets: DURATION_BUCKETS_S,
  registers: [registry],
});

export const appendBytesTotal = new Counter({
  name: 'marigoldbank_append_bytes_total',
  help: 'Bytes of entries sent to other members of the replicated log, by member and sending: first, repeated',
  labelNames: ['member', 'sending'] as const,
  registers: [registry],
});

export const logBytes = new Gauge({
  name: 'marigoldbank_log_bytes',
  help: 'Bytes of the replicated log that this member keeps, by part: entries, snapshot',
  labelNames: ['part'] as const,
  registers: [registry],
});

export const sentPlansTotal = new Counter({
  name: 'marigoldbank_sent_plans_total',
  help: 'Plans that this hub has sent to entries, by form: whole, changes',
  labelNames: ['form'] as const,
  registers: [registry],
});

export const sentPlanBytesTotal = new Counter({
  name: 'marigoldbank_sent_plan_bytes_total',
  help: 'Bytes of plans that this hub has sent to entries, before compression, by form: whole, changes',
  labelNames: ['form'] as const,
  registers: [registry],
});

export const crossRequestsTotal = new Counter({
  name: 'marigoldbank_cross_requests_total',
  help: 'Requests sent to targets of other data centres, by service',
  labelNames: ['service'] as const,
  registers: [registry],
});

export const crossBytesTotal = new Counter({
  name: 'marigoldbank_cross_request_bytes_total',
  help: 'Bytes of bodies exchanged with targets of other data centres, by service and direction',
  labelNames: ['service', 'direction'] as const,
  registers: [registry],
});

export const crossStreamBytesTotal = new Counter({
  name: 'marigoldbank_cross_stream_bytes_total',
  help: "Bytes of the fleet's own streams between data centres, by the kind of the other process and direction",
  labelNames: ['peer', 'direction'] as const,
  registers: [registry],
});

export const retriesRefusedTotal = new Counter({
  name: 'marigoldbank_retries_refused_total',
  help: 'Further attempts that the retry budget did not allow, by service and what they were worth: urgent, usual, late',
  labelNames: ['service', 'value'] as const,
  registers: [registry],
});

export const teamRefusalsTotal = new Counter({
  name: 'marigoldbank_team_refusals_total',
  help: 'Requests refused for the rate of their team, by who decided: holder, or entry while it reached none',
  labelNames: ['decided_by'] as const,
  registers: [registry],
});

export const teamAdmissionsTotal = new Counter({
  name: 'marigoldbank_team_admissions_total',
  help: 'Requests admitted by the rate of their team, by how: token of the holder, ahead of being counted by it, unanswered by it, or alone without a holder',
  labelNames: ['by'] as const,
  registers: [registry],
});

export const teamTokensReturnedTotal = new Counter({
  name: 'marigoldbank_team_tokens_returned_total',
  help: 'Tokens of requests that were admitted and not run',
  registers: [registry],
});

export const teamTokensGrantedTotal = new Counter({
  name: 'marigoldbank_team_tokens_granted_total',
  help: 'Tokens of teams that this hub granted, by its role: whole for the leader, substitute for a hub without one',
  labelNames: ['role'] as const,
  registers: [registry],
});

export const knownTargets = new Gauge({
  name: 'marigoldbank_known_targets',
  help: 'Targets of a service that this entry knows, without those that leave',
  labelNames: ['service'] as const,
  registers: [registry],
});

export const unusedTargets = new Gauge({
  name: 'marigoldbank_unused_targets',
  help: 'Targets that got no request for 2 s as far as this entry knows, by service and why',
  labelNames: ['service', 'reason'] as const,
  registers: [registry],
});

export const teamHistoriesTotal = new Counter({
  name: 'marigoldbank_team_histories_total',
  help: 'Histories of a team that an entry reported after a time without a budget holder',
  registers: [registry],
});

export const retryBudgetUsed = new Gauge({
  name: 'marigoldbank_retry_budget_used',
  help: 'Used part of the retry budget of a service, as known to this hub',
  labelNames: ['service'] as const,
  registers: [registry],
});

export const crossingPriceOf = new Gauge({
  name: 'marigoldbank_crossing_price',
  help: 'Price of a request of a service to another data centre by its bytes, in units of the value of an answer',
  labelNames: ['service'] as const,
  registers: [registry],
});

export const heldBackOutcomesTotal = new Counter({
  name: 'marigoldbank_held_back_outcomes_total',
  help: 'Changes of outcomes or load that were merged before they were sent to another data centre',
  registers: [registry],
});

export const commandBytesTotal = new Counter({
  name: 'marigoldbank_command_bytes_total',
  help: 'Bytes of commands that this member has encoded for the log, by form: plain, compact',
  labelNames: ['form'] as const,
  registers: [registry],
});

export const placementShare = new Gauge({
  name: 'marigoldbank_placement_share',
  help: 'Share of the requests of a data centre that goes to another one, by service',
  labelNames: ['service', 'from', 'to'] as const,
  registers: [registry],
});

/** Answers every request with the metrics as text. */
export function metricsHandler(): (req: IncomingMessage, res: ServerResponse) => void {
  return (_req, res) => {
    registry
      .metrics()
      .then((text) => {
        res.writeHead(200, { 'content-type': registry.contentType });
        res.end(text);
      })
      .catch(() => res.destroy());
  };
}
