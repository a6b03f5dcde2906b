/**
 * State of a request across its sends, and what follows from the outcome of a send.
 */
import type {SendResult} from '@filbertwell/dispatch/trackedEndpoint';
import type {RouteKind} from '@filbertwell/types/intent';
import type {SendOutcome} from './endpointClient.js';

/** State of a request across its sends. */
export type SendProgress = {
	readonly triedEndpointIds: Set<string>;
	/** Sends that reached an endpoint. */
	sendCount: number;
	/** Sends for which no connection could be opened. */
	unreachableCount: number;
	/** Time at which the request was written to the endpoint whose response is outstanding, in monotonic milliseconds. */
	writtenAtMs: number | undefined;
	/** Whether a send that has ended may have run the request. */
	mayHaveRun: boolean;
	lastProblem: string;
};

/**
 * Creates the state of a request that has not been sent.
 *
 * @returns The state; `recordOutcome` updates it.
 */
export const createSendProgress = (): SendProgress => ({
	triedEndpointIds: new Set(), sendCount: 0, unreachableCount: 0, writtenAtMs: undefined, mayHaveRun: false, lastProblem: '',
});

/**
 * Records the outcome of a send.
 *
 * @param progress - State of the request; modified.
 * @param endpointId - Endpoint of the send.
 * @param outcome - Outcome of the send.
 */
export const recordOutcome = (progress: SendProgress, endpointId: string, outcome: SendOutcome): void => {
	progress.triedEndpointIds.add(endpointId);
	progress.writtenAtMs = undefined;
	if (outcome.kind === 'not-run' && outcome.cause === 'unreachable') {
		progress.unreachableCount += 1;
	} else {
		progress.sendCount += 1;
	}

	progress.mayHaveRun ||= outcome.kind === 'failed' || outcome.kind === 'answered' || (outcome.kind === 'cancelled' && outcome.isSent);
	progress.lastProblem = 'reason' in outcome ? outcome.reason : outcome.kind;
};

/**
 * Decides whether a request may be sent again.
 *
 * @param kind - Kind of the route.
 * @param outcome - Outcome of the last send.
 * @returns Whether another send can't run an at-most-once request a second time.
 */
export const isRetryable = (kind: RouteKind, outcome: SendOutcome): boolean => {
	switch (outcome.kind) {
		case 'answered': {
			return kind === 'idempotent' && outcome.response.status >= 500;
		}

		case 'not-run': {
			return true;
		}

		case 'failed': {
			return kind === 'idempotent';
		}

		case 'cancelled': {
			return false;
		}
	}
};

/**
 * Derives what the outcome of a send says about its endpoint.
 *
 * @param outcome - Outcome of the send.
 * @param isTimeout - Whether a cancelled send ended because its time was up.
 * @returns The result for the dispatcher.
 */
export const leaseResultOf = (outcome: SendOutcome, isTimeout: boolean): SendResult['kind'] => {
	switch (outcome.kind) {
		case 'answered': {
			return outcome.response.status >= 500 ? 'failed' : 'answered';
		}

		case 'not-run': {
			return outcome.cause === 'unreachable' ? 'failed' : 'refused';
		}

		case 'failed': {
			return 'failed';
		}

		case 'cancelled': {
			return isTimeout ? 'silent' : 'abandoned';
		}
	}
};
