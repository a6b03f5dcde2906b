/**
 * Log events 7000 to 7999: orders.
 */
import {defineEvents} from '../eventDefinition.js';

/** Events of orders. */
export const ordersEvents = defineEvents({
	claimUnavailable: {
		number: 7001,
		name: 'claim-unavailable',
		level: 'warn',
		meaning: 'The table service did not take a claim. First attempts are refused as not run, resends are in doubt. See the state of the table service.',
	},
	orderInDoubt: {
		number: 7002,
		name: 'order-in-doubt',
		level: 'warn',
		meaning: 'A request was dispatched and its answer was lost. It stays in doubt and is not run again. See docs/operations/orderInDoubt.md.',
	},
	dispatchRefused: {
		number: 7003,
		name: 'dispatch-refused',
		level: 'warn',
		meaning: 'The process was held up between claim and dispatch for longer than the bound, so the request was not dispatched. Look for a paused or overloaded instance.',
	},
	dispatchUnclaimed: {
		number: 7004,
		name: 'dispatch-unclaimed',
		level: 'warn',
		meaning: 'The table service is down and the route allows first attempts without a claim; this one was dispatched.',
	},
	outcomeDelayed: {
		number: 7005,
		name: 'outcome-delayed',
		level: 'warn',
		meaning: 'The outcome of a request could not be written to the table yet; it is tried again. Resends wait or are in doubt meanwhile.',
	},
	outcomeDropped: {
		number: 7006,
		name: 'outcome-dropped',
		level: 'error',
		meaning: 'The outcome of a request was given up, since the process stopped or too many wait. Its claim stays in doubt.',
	},
	rowsRemoved: {
		number: 7007,
		name: 'rows-removed',
		level: 'info',
		meaning: 'Rows of orders past their retention were removed.',
	},
});
