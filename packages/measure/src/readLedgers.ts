/**
 * Reads the ledgers of all upstream processes of a deployment, for checks against callers' records.
 */
import {requestJson} from '@filbertwell/harness/httpJson';
import type {Deployment} from '@filbertwell/harness/startDeployment';
import {mergeLedgers, type LedgerCounts} from '@filbertwell/load/checkGuarantees';

/**
 * Reads and merges the ledgers.
 *
 * @param deployment - A running deployment.
 * @returns Number of runs by idempotency key and by request id over all upstreams.
 * @throws If a ledger cannot be read, since a check against the others would be incomplete.
 */
export const readLedgers = async (deployment: Deployment): Promise<LedgerCounts> => {
	const ledgers = await Promise.all(deployment.upstreams.map(async ({control}) => {
		const url = `http://${control.host}:${control.port}/ledger`;
		const answer = await requestJson('GET', url);
		if (answer?.status !== 200) {
			throw new Error(`GET ${url}: no ledger; is the upstream process still running?`);
		}

		return answer.body as LedgerCounts;
	}));
	return mergeLedgers(ledgers);
};
