/**
 * The services of a control VM: leadership, the state that routers share, and the tasks of the
 * leader.
 */
package io.jacinthquay.control.service;
