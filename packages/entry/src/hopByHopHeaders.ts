/**
 * Removes headers that apply to a single connection and must not be forwarded (RFC 9110, section 7.6.1).
 */

const hopByHopNames = new Set([
	'connection',
	'keep-alive',
	'proxy-authenticate',
	'proxy-authorization',
	'proxy-connection',
	'te',
	// Announces trailers, which depend on the framing of one connection; they are forwarded without it or not at all.
	'trailer',
	'transfer-encoding',
	'upgrade',
]);

const namesInConnectionHeader = (rawHeaders: readonly string[]): Set<string> | undefined => {
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
 * Removes hop-by-hop headers, including those named by the `Connection` header.
 *
 * @param rawHeaders - Alternating names and values, as in `message.rawHeaders` of Node.js.
 * @param additionalNames - Lower-case names of further headers to remove.
 * @returns The remaining names and values, with order and spelling unchanged.
 */
export const endToEndHeaders = (rawHeaders: readonly string[], additionalNames: ReadonlySet<string>): string[] => {
	const named = namesInConnectionHeader(rawHeaders);
	const endToEnd: string[] = [];
	for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
		const name = rawHeaders[index]!.toLowerCase();
		if (!hopByHopNames.has(name) && !additionalNames.has(name) && named?.has(name) !== true) {
			endToEnd.push(rawHeaders[index]!, rawHeaders[index + 1]!);
		}
	}

	return endToEnd;
};
