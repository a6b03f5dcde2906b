/**
 * Computes the size of HTTP/1.1 header blocks.
 */

/** Bytes of `: ` and CRLF in each header line. */
const headerOverheadBytes = 4;

/**
 * Computes the size of a header block, counting one byte for each character.
 *
 * @param rawHeaders - Alternating names and values.
 * @returns The size in bytes, including the separators of each line.
 */
export const headerBytes = (rawHeaders: readonly string[]): number => {
	let bytes = 0;
	for (const text of rawHeaders) {
		bytes += text.length;
	}

	return bytes + (rawHeaders.length / 2 * headerOverheadBytes);
};
