/** Leases, usage reports and upstream orders. */
package io.jacinthquay.controller.service;
