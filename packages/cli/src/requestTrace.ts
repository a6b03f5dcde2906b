/**
 * Traces one request through the instances by their logs: the lines of the request, and the state changes of its
 * endpoints, its service and the store that the same instances logged shortly before.
 */

/** A parsed log line and its source. */
export type LogEntry = {
	/** Name of the instance if the line has a prefix with it, otherwise of the log file. */
	readonly source: string;
	/** Unix time in milliseconds, by the instance's clock. */
	readonly timeMs: number;
	readonly name: string;
	readonly fields: Readonly<Record<string, unknown>>;
};

/** A step in the trace of a request. */
export type TraceStep = {
	readonly source: string;
	/** Milliseconds since the request's first line; negative for earlier lines. */
	readonly offsetMs: number;
	/** Name of the event. */
	readonly name: string;
	/** Fields of the line, formatted as `name=value`. */
	readonly detail: string;
	/** `own`: a line of the request itself; `context`: a state change at one of its instances. */
	readonly kind: 'own' | 'context';
};

/** Trace of a request. */
export type RequestTrace = {
	/** Steps ordered by time. */
	readonly steps: readonly TraceStep[];
	/** Number of lines dropped by the instances' log rate limits, as logged from the first step until 1 s after the last. */
	readonly dropped: number;
};

/** How long before a request state changes are included, in milliseconds; exceeds the time limits of drains and plans. */
const contextWindowMs = 5000;
/** Fields left out of `detail`: all lines have them, or the trace shows them in columns of their own. */
const commonFields: ReadonlySet<string> = new Set(['time', 'event', 'level', 'component', 'name', 'request', 'dropped']);
/** Events that report a state change of an instance which can affect any request. */
const stateEvents: ReadonlySet<string> = new Set([
	'planInForce', 'evacuationChanged', 'tableLost', 'tableRegained', 'historyLost', 'readFromPeer', 'processStarted', 'processStopping', 'settingsReloaded', 'settingsRejected',
]);
/** Events that report a state change of one endpoint. */
const endpointEvents: ReadonlySet<string> = new Set(['endpointChanged', 'endpointGone', 'registrationMissing', 'registrationRejected']);

/**
 * Parses a log line. A prefix before the JSON object, as added by log collectors, is allowed; its last word
 * is taken as the name of the instance.
 *
 * @param line - The line.
 * @param file - Name of the log file, used as the source if there is no prefix.
 * @returns The entry; `undefined` if the line is not a log entry of this system.
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
		// The line was truncated when its process was killed, or was written by another program.
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

const formatDetail = ({fields}: LogEntry): string => Object.entries(fields)
	.filter(([name]) => !commonFields.has(name))
	.map(([name, value]) => `${name}=${String(value)}`)
	.join(' ');

/**
 * Traces a request through log entries.
 *
 * @param entries - Entries of all instances, in any order.
 * @param requestId - Id of the request.
 * @returns The trace; without steps if no entry names the request.
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
		&& entry.timeMs >= first.timeMs - contextWindowMs && entry.timeMs <= last.timeMs
		&& (stateEvents.has(entry.name) || (endpointEvents.has(entry.name) && (endpoints.has(entry.fields.endpoint) || services.has(entry.fields.service))));
	const toStep = (kind: TraceStep['kind']) => (entry: LogEntry): TraceStep => ({
		source: entry.source, offsetMs: entry.timeMs - first.timeMs, name: entry.name, detail: formatDetail(entry), kind,
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
