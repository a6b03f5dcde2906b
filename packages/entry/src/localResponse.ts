/**
 * Responses that the entry generates itself. The outcome header of each states whether the request ran.
 */
import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {outcomeHeader, type OutcomeHeader} from '@filbertwell/types/headers';

/** A response that the entry generates instead of relaying one from an upstream. */
export type LocalResponse = {
	readonly status: number;
	readonly outcome: OutcomeHeader;
	/** Serialized as JSON. */
	readonly body: unknown;
	/** Value of the `Retry-After` header, where a retry may succeed. */
	readonly retryAfterSeconds?: number;
	/** Whether the connection must close because the request's body was not read. */
	readonly closesConnection?: boolean;
};

/** Body of an error response. */
export type Problem = {
	/** Machine-readable name of the problem. */
	readonly problem: string;
	/** Human-readable description of the problem and of its fix. */
	readonly detail: string;
};

/**
 * Sends a locally generated response. If the headers have been sent or the connection is
 * closed, it destroys the caller's response instead.
 *
 * @param response - The caller's response.
 * @param localResponse - Status, outcome and body to send.
 */
export const sendLocalResponse = (response: ServerResponse, {status, outcome, body, retryAfterSeconds, closesConnection}: LocalResponse): void => {
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
 * Builds an error response.
 *
 * @param status - HTTP status.
 * @param outcome - Value of the outcome header.
 * @param problem - Machine-readable name of the problem.
 * @param detail - Human-readable description of the problem and of its fix.
 * @returns The response, without `retryAfterSeconds` and `closesConnection`.
 */
export const problemResponse = (status: number, outcome: OutcomeHeader, problem: string, detail: string): LocalResponse =>
	({status, outcome, body: {problem, detail} satisfies Problem});
