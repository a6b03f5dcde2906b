/* eslint-disable camelcase -- names of the pages */
/**
 * Stand-in for the platform's metadata store: rows, transactions and the feed of changes, as PROTOCOL.md describes them.
 * The feed returns every change of the retained history in order. Each gateway gets a front of its own, so that the store
 * can reject some instances while it serves the others and the operator.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';

const historyMs = 20_000;
const maximumRowsPerPage = 500;
const maximumWaitMs = 30_000;

const rowId = ({table, part, key}) => `${table}\u0000${part}\u0000${key}`;

const readText = async request => {
	const chunks = [];
	for await (const chunk of request) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString('utf8');
};

/**
 * Starts a store without rows.
 *
 * @returns The store; each front listens on an address of its own.
 */
export const createStore = () => {
	const rows = new Map();
	const waiters = new Set();
	const fronts = [];
	let history = [];
	let historyStart = 0;
	let version = 0;

	const commit = (puts, removals) => {
		version += 1;
		for (const {table, part, key, value} of puts) {
			const row = {
				table, part, key, value, ver: version,
			};
			rows.set(rowId(row), row);
			history.push({row, atMs: performance.now()});
		}

		for (const {table, part, key} of removals) {
			if (rows.delete(rowId({table, part, key}))) {
				history.push({
					row: {
						table, part, key, ver: version, removed: true,
					}, atMs: performance.now(),
				});
			}
		}

		while (history.length > 0 && history[0].atMs < performance.now() - historyMs) {
			historyStart = history[0].row.ver;
			history = history.slice(1);
		}

		for (const wake of waiters) {
			wake();
		}
	};

	const answer = (status, body) => ({status, body: {...body, ver: version, now_s: performance.now() / 1000}});

	const transact = ({expected = [], puts = [], remove = []}) => {
		if (expected.some(check => (rows.get(rowId(check))?.ver ?? 0) !== check.ver)) {
			return answer(412, {rows: expected.flatMap(check => rows.get(rowId(check)) ?? [])});
		}

		if ([...puts, ...remove].some(({table}) => table === 'op' || table === 'servers')) {
			return answer(403, {});
		}

		commit(puts, remove);
		return answer(200, {});
	};

	const readPage = query => {
		const from = query.get('from') ?? '';
		const to = query.get('to');
		const limit = Math.min(Number(query.get('limit') ?? maximumRowsPerPage), maximumRowsPerPage);
		const found = [...rows.values()]
			.filter(({table, part, key}) => table === query.get('table') && part === (query.get('part') ?? '') && key >= from && (to === null || key < to))
			.toSorted((a, b) => a.key < b.key ? -1 : 1);
		return answer(200, {rows: found.slice(0, limit), has_more: found.length > limit});
	};

	const readFeed = async (query, signal) => {
		const after = Number(query.get('after'));
		if (after < historyStart) {
			return answer(410, {});
		}

		const changed = () => history.map(({row}) => row).filter(({table, ver}) => table === query.get('table') && ver > after);
		const untilMs = performance.now() + Math.min(Number(query.get('wait_ms') ?? 0), maximumWaitMs);
		while (changed().length === 0 && performance.now() < untilMs && !signal.aborted) {
			// eslint-disable-next-line no-await-in-loop
			await new Promise(resolve => {
				const wake = () => {
					clearTimeout(timer);
					waiters.delete(wake);
					signal.removeEventListener('abort', wake);
					resolve();
				};

				const timer = setTimeout(wake, untilMs - performance.now());
				waiters.add(wake);
				signal.addEventListener('abort', wake, {once: true});
			});
		}

		return answer(200, {rows: changed()});
	};

	const handle = async (request, signal) => {
		const url = new URL(request.url, 'http://127.0.0.1');
		switch (`${request.method} ${url.pathname}`) {
			case 'POST /rows-tx': {
				return transact(JSON.parse(await readText(request)));
			}

			case 'GET /rows-get': {
				return readPage(url.searchParams);
			}

			case 'GET /rows-feed': {
				return readFeed(url.searchParams, signal);
			}

			default: {
				return answer(404, {});
			}
		}
	};

	return {
		/** Opens a front on a loopback address. While `rejects` is set, the front resets all connections. */
		async openFront(host) {
			const front = {rejects: false, address: ''};
			const sockets = new Set();
			const server = createServer(async (request, response) => {
				if (front.rejects) {
					request.socket.resetAndDestroy();
					return;
				}

				const gone = new AbortController();
				response.once('close', () => {
					gone.abort();
				});
				const {status, body} = await handle(request, gone.signal);
				if (front.rejects) {
					request.socket.resetAndDestroy();
				} else if (!response.destroyed) {
					response.writeHead(status, {'content-type': 'application/json'});
					response.end(JSON.stringify(body));
				}
			});
			server.on('connection', socket => {
				sockets.add(socket);
				socket.on('error', () => undefined);
				socket.once('close', () => {
					sockets.delete(socket);
				});
			});
			server.listen(0, host);
			await once(server, 'listening');
			front.address = `${host}:${server.address().port}`;
			front.reject = () => {
				front.rejects = true;
				for (const socket of sockets) {
					socket.resetAndDestroy();
				}
			};

			front.accept = () => {
				front.rejects = false;
			};

			fronts.push({server, sockets});
			return front;
		},
		/** Writes a row, as the operator and the endpoints do; the return is the confirmation. */
		put(table, key, value) {
			commit([{
				table, part: '', key, value: Buffer.from(JSON.stringify(value)).toString('base64'),
			}], []);
		},
		remove(table, key) {
			commit([], [{table, part: '', key}]);
		},
		close() {
			for (const {server, sockets} of fronts) {
				server.close();
				for (const socket of sockets) {
					socket.destroy();
				}
			}
		},
	};
};
