/**
 * One request's path through the instances, from their logs: its own lines, and what the instances that handled it
 * learned of its endpoints, its service and the store shortly before.
 */

/** A log line with where it comes from. */
export type LogEntry = {
	/** Instance, or the file that holds the line. */
	readonly source: string;
	/** Milliseconds since 1970 by the instance's clock. */
	readonly timeMs: number;
	readonly name: string;
	readonly fields: Readonly<Record<string, unknown>>;
};

/** A step of a request. */
export type TraceStep = {
	readonly source: string;
	/** Milliseconds after the request's first line; negative for what came before. */
	readonly offsetMs: number;
	readonly name: string;
	/** What the line says, as `name=value`. */
	readonly detail: string;
	/** `own`: of the request; `context`: what its instance learned before. */
	readonly kind: 'own' | 'context';
};

/** What the logs tell of a request. */
export type RequestTrace = {
	readonly steps: readonly TraceStep[];
	/** Lines that the instances left out between the first and the last step, by event. */
	readonly dropped: number;
};

/** Time before a request for which context is shown, in milliseconds: longer than bounds on drains and plans. */
const contextMs = 5000;
/** Fields that every line has, or that the columns show. */
const commonFields: ReadonlySet<string> = new Set(['time', 'event', 'level', 'component', 'name', 'request', 'dropped']);
/** Events that change what an instance believes, whatever the request. */
const beliefEvents: ReadonlySet<string> = new Set([
	'planInForce', 'evacuationChanged', 'tableLost', 'tableRegained', 'historyLost', 'readFromPeer', 'processStarted', 'processStopping', 'settingsReloaded', 'settingsRejected',
]);
/** Events about one endpoint. */
const endpointEvents: ReadonlySet<string> = new Set(['endpointChanged', 'endpointGone', 'registrationMissing', 'registrationRejected']);

/**
 * Reads a log line. A prefix before the JSON object, as collectors of logs write one, is passed over; its last word
 * names the instance.
 *
 * @param line - The line.
 * @param file - File that holds it.
 * @returns The entry; `undefined` where the line is none of ours.
 */
export const parseLogLine = (line: string, file: string): LogEntry | undefined => {
	const start = line.indexOf('{');
	if (start === -1) {
		return undefined;
	}

	let fields: unknown;
	try {
		fields = JSON.parse(line.slice(start));
	} catch {
		// Cut off by a process that was killed, or text of another program.
		return undefined;
	}

	const {time, name} = fields as {readonly time?: unknown; readonly name?: unknown};
	const timeMs = typeof time === 'string' ? Date.parse(time) : Number.NaN;
	if (typeof name !== 'string' || Number.isNaN(timeMs)) {
		return undefined;
	}

	const source = line.slice(0, start).trim().split(/\s+/u).at(-1) ?? '';
	return {
		source: source === '' ? file : source, timeMs, name, fields: fields as Record<string, unknown>,
	};
};

const detailOf = ({fields}: LogEntry): string => Object.entries(fields)
	.filter(([name]) => !commonFields.has(name))
	.map(([name, value]) => `${name}=${String(value)}`)
	.join(' ');

/**
 * Finds a request in log entries.
 *
 * @param entries - Entries of all instances, in any order.
 * @param requestId - The request.
 * @returns Its steps in order of time; none where no line names it.
 */
export const traceRequest = (entries: readonly LogEntry[], requestId: string): RequestTrace => {
	const own = entries.filter(({fields}) => fields.request === requestId).toSorted((a, b) => a.timeMs - b.timeMs);
	const first = own[0];
	const last = own.at(-1);
	if (first === undefined || last === undefined) {
		return {steps: [], dropped: 0};
	}

	const sources = new Set(own.map(({source}) => source));
	const endpoints = new Set(own.map(({fields}) => fields.endpoint));
	const services = new Set(own.map(({fields}) => fields.service));
	const isContext = (entry: LogEntry): boolean => sources.has(entry.source)
		&& entry.timeMs >= first.timeMs - contextMs && entry.timeMs <= last.timeMs
		&& (beliefEvents.has(entry.name) || (endpointEvents.has(entry.name) && (endpoints.has(entry.fields.endpoint) || services.has(entry.fields.service))));
	const toStep = (kind: TraceStep['kind']) => (entry: LogEntry): TraceStep => ({
		source: entry.source, offsetMs: entry.timeMs - first.timeMs, name: entry.name, detail: detailOf(entry), kind,
	});
	const dropped = entries
		.filter(entry => sources.has(entry.source) && entry.timeMs >= first.timeMs && entry.timeMs <= last.timeMs + 1000)
		.reduce((sum, {fields}) => sum + (typeof fields.dropped === 'number' ? fields.dropped : 0), 0);
	return {
		steps: [...own.map(entry => toStep('own')(entry)), ...entries.filter(entry => isContext(entry)).map(entry => toStep('context')(entry))]
			.toSorted((a, b) => a.offsetMs - b.offsetMs),
		dropped,
	};
};
