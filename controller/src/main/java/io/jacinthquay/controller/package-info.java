/** Orders upstreams and reports usage under leases. */
package io.jacinthquay.controller;
