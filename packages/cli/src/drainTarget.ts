/**
 * Names of drain targets on the command line, where an availability zone is called `zone`.
 */
import type {DrainTarget} from '@filbertwell/types/intent';

/** Name of a kind of drain target on the command line. */
export type DrainTargetName = 'endpoint' | 'zone' | 'region' | 'entry';

/** All names of drain targets that the command line accepts. */
export const drainTargetNames: readonly DrainTargetName[] = ['endpoint', 'zone', 'region', 'entry'];

/** Converts a name on the command line to the drain target in the intent. */
export const parseDrainTarget = (name: DrainTargetName): DrainTarget => name === 'zone' ? 'availabilityZone' : name;

/** Converts a drain target in the intent to its name on the command line. */
export const formatDrainTarget = (target: DrainTarget): DrainTargetName => target === 'availabilityZone' ? 'zone' : target;
