/**
 * All programs in one process on one machine, with small fakes of the engines, a plain service and
 * the platform.
 */
package io.jacinthquay.standalone;
