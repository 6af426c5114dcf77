/**
 * Runs a keeper, a router and a controller in one process, with small fakes of the engines, a plain
 * service and the platform.
 */
package io.jacinthquay.standalone;
