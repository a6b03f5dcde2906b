/**
 * Measures the heap that is in use after a full garbage collection.
 */
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

type Collect = () => void;

let collect: Collect | undefined;

const findCollect = (): Collect => {
	setFlagsFromString('--expose-gc');
	return runInNewContext('gc') as Collect;
};

/**
 * Runs a full garbage collection and measures the remaining heap.
 *
 * @returns Bytes on the heap and in array buffers.
 */
export const heapInUse = (): number => {
	collect ??= findCollect();
	collect();
	const {heapUsed, arrayBuffers} = process.memoryUsage();
	return heapUsed + arrayBuffers;
};
