/**
 * Headers that belong to one connection and are not passed on (RFC 9110, section 7.6.1).
 */

const hopByHopNames = new Set([
	'connection',
	'keep-alive',
	'proxy-authenticate',
	'proxy-authorization',
	'proxy-connection',
	'te',
	'transfer-encoding',
	'upgrade',
]);

const connectionNames = (rawHeaders: readonly string[]): Set<string> | undefined => {
	let named: Set<string> | undefined;
	for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
		if (rawHeaders[index]!.toLowerCase() === 'connection') {
			for (const name of rawHeaders[index + 1]!.split(',')) {
				named ??= new Set();
				named.add(name.trim().toLowerCase());
			}
		}
	}

	return named;
};

/**
 * Removes hop-by-hop headers, the ones that `Connection` names included.
 *
 * @param rawHeaders - Names and values in turn, as Node gives them.
 * @param alsoRemoved - Further names in lower case.
 * @returns Names and values in turn, in the same order and spelling.
 */
export const endToEndHeaders = (rawHeaders: readonly string[], alsoRemoved: ReadonlySet<string>): string[] => {
	const named = connectionNames(rawHeaders);
	const kept: string[] = [];
	for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
		const name = rawHeaders[index]!.toLowerCase();
		if (!hopByHopNames.has(name) && !alsoRemoved.has(name) && named?.has(name) !== true) {
			kept.push(rawHeaders[index]!, rawHeaders[index + 1]!);
		}
	}

	return kept;
};
