/**
 * Answers that the entry makes itself. Each says in one header what became of the request.
 */
import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {outcomeHeader, type OutcomeHeader} from '@filbertwell/types/headers';

/** An answer of the entry's own. */
export type OwnAnswer = {
	readonly status: number;
	readonly outcome: OutcomeHeader;
	/** Sent as JSON. */
	readonly body: unknown;
	/** Seconds after which to try again, if that may help. */
	readonly retryAfterSeconds?: number;
	/** Whether the connection must close, since the request's body was not read. */
	readonly closesConnection?: boolean;
};

/** Body of an answer that is no success. */
export type Problem = {
	/** Short name of the problem for programs. */
	readonly problem: string;
	/** What was wrong and what to do about it. */
	readonly detail: string;
};

/**
 * Sends an answer of the entry's own, if the caller is still there.
 *
 * @param response - The caller's response.
 * @param answer - What to send.
 */
export const sendOwnAnswer = (response: ServerResponse, {status, outcome, body, retryAfterSeconds, closesConnection}: OwnAnswer): void => {
	if (response.headersSent || response.destroyed) {
		response.destroy();
		return;
	}

	const content = Buffer.from(JSON.stringify(body));
	response.writeHead(status, {
		'content-type': 'application/json',
		'content-length': content.length,
		[outcomeHeader]: outcome,
		...retryAfterSeconds !== undefined && {'retry-after': String(retryAfterSeconds)},
		...closesConnection && {connection: 'close'},
	});
	response.end(content);
};

/**
 * Builds the answer to a request that did not succeed.
 *
 * @param status - HTTP status.
 * @param outcome - What became of the request.
 * @param problem - Name of the problem.
 * @param detail - What was wrong and what to do about it.
 * @returns The answer.
 */
export const problemAnswer = (status: number, outcome: OutcomeHeader, problem: string, detail: string): OwnAnswer =>
	({status, outcome, body: {problem, detail} satisfies Problem});
