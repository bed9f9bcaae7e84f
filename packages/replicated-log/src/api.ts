/** Public API of the replicated log. */
export * from './types.js';
export { ConsensusTransport } from './ConsensusTransport.js';
export { StateMachine } from './StateMachine.js';
