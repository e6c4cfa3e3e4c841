/** What the leader does for workflows: accepts them, places their tasks and follows the workers. */
package org.yuccabank.control.workflow;
