/** Holding of leases, reporting of usage and sending of upstream orders. */
package io.jacinthquay.controller.service;
