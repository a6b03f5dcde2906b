/**
 * Log events 7000 to 7999: orders (at-most-once requests).
 */
import {defineEvents} from '../eventDefinition.js';

/** Events about claims and outcomes of at-most-once requests. */
export const ordersEvents = defineEvents({
	claimUnavailable: {
		number: 7001,
		name: 'claim-unavailable',
		level: 'warn',
		meaning: 'The table service did not accept a claim. First attempts are rejected as not run; resends are in doubt. Check the table service.',
	},
	orderInDoubt: {
		number: 7002,
		name: 'order-in-doubt',
		level: 'warn',
		meaning: 'A request was dispatched, but its response was lost. It stays in doubt and is not run again. See docs/operations/orderInDoubt.md.',
	},
	dispatchRefused: {
		number: 7003,
		name: 'dispatch-refused',
		level: 'warn',
		meaning: 'The process was delayed between claim and dispatch for longer than the limit, so the request was not dispatched. Check whether the instance is paused or overloaded.',
	},
	dispatchUnclaimed: {
		number: 7004,
		name: 'dispatch-unclaimed',
		level: 'warn',
		meaning: 'The table service is unavailable and the route allows first attempts without a claim, so the request was dispatched unclaimed.',
	},
	outcomeDelayed: {
		number: 7005,
		name: 'outcome-delayed',
		level: 'warn',
		meaning: 'The outcome of a request has not been written to the table yet; the write is retried. Until then, resends wait or are in doubt.',
	},
	outcomeDropped: {
		number: 7006,
		name: 'outcome-dropped',
		level: 'error',
		meaning: 'The outcome of a request was discarded because the process stopped, too many outcomes were pending or the table rejected it as invalid. Its claim stays in doubt.',
	},
	rowsRemoved: {
		number: 7007,
		name: 'rows-removed',
		level: 'info',
		meaning: 'Rows of at-most-once requests that had passed their retention period were removed.',
	},
	rowDamaged: {
		number: 7008,
		name: 'row-damaged',
		level: 'error',
		meaning: 'The row of an at-most-once request cannot be read. Its request is in doubt and is not run again. Find out what wrote the row, and remove it when the request has been settled.',
	},
	cleanupFailed: {
		number: 7009,
		name: 'cleanup-failed',
		level: 'warn',
		meaning: 'A pass that removes rows of at-most-once requests past their retention failed. The next pass repeats it.',
	},
});
