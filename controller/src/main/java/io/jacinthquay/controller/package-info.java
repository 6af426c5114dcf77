/** Orders upstreams and reports usage to the platform under leases. */
package io.jacinthquay.controller;
